//! What the build of commit 4464d3d wrote is read, and the same values are written as the same bytes.
//!
//! Both builds run side by side while entry VMs are upgraded one after the other. Guards against
//! fields and kinds that are added anywhere but behind the others, moved, renumbered or given another
//! type: entry VMs of the two builds would not understand each other, or would take one message for
//! another.
//!
//! The constants were written by the code of 4464d3d from the values of `values.rs`. They stay as
//! they are; a later build that is to be replaced without a stop gets constants of its own.
//!
//! The kinds of messages that were added since were given to the code of 4464d3d by hand: decoding
//! each one fails there with postcard's `SerdeDeCustom`, for the unknown index of the kind, and
//! its receiver logs `peer message ignored` and goes on with the next message.

mod values;

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::leases::ENTRY_VMS_PREFIX;
use crate::leases::PLANNER_KEY;
use crate::peers::Message;
use crate::relay_messages::CHANGES_PATH;

/// Messages of each kind of 4464d3d, in the order of the kinds, as hexadecimal digits.
const MESSAGES: [&str; 11] = [
    "0007656e7472792d310104766d2d37c801030104766d2d37dc0b010104766d2d370000a03f",
    "0107656e7472792d310104766d2d37c801030104766d2d37dc0b010104766d2d370000a03f",
    "020104766d2d370204766d2d3804766d2d39",
    "0301ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d310207\
     6d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020102fbd0c4cfa2\
     34",
    "040104766d2d37",
    "0501ef9bafcdf8acd1910104766d2d37fbd0c4cfa234dc0b0107656e7472792d3101ef9bafcdf8acd191\
     018407",
    "060502ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d3102\
     076d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020100fbd0c4cf\
     a23402ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d3102\
     076d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020101fbd0c4cf\
     a23402ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d3102\
     076d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020102fbd0c4cf\
     a23402ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d3102\
     076d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020103fbd0c4cf\
     a23402ac0204766d2d370463686174007f010007c03e067a6f6e652d6214010108646f6d61696e2d3102\
     076d6f64656c2d61076d6f64656c2d6201076d6f64656c2d61010767726f75702d31ac020104fbd0c4cf\
     a234",
    "070201900300",
    "080200ef9bafcdf8acd1910104766d2d37fbd0c4cfa23480897ae0c65b0107656e7472792d310107656e\
     7472792d3201f6eec7de178b506bd64a2eb91d3ffe0204766d2d37fbd0c4cfa23480897ae0c65b010765\
     6e7472792d310107656e7472792d320100ef9bafcdf8acd19101a0f736",
    "0907656e7472792d310204766d2d37fbd0c4cfa234010000000000002940ac0204766d2d37fbd0c4cfa2\
     3400ac0203010463686174c801",
    "0a0107656e7472792d3101ac02",
];

/// A question to a relay, of 4464d3d.
const RELAY_QUESTION: &str = "07656e7472792d3102ac020280cab5ee01";

/// Answers of relays of each kind of 4464d3d, in the order of the kinds.
const RELAY_ANSWERS: [&str; 3] = [
    "00",
    "01",
    "0202ad0202126d616e676f63726f73732f706c616e6e65720107656e7472792d3102ac02186d616e676f\
     63726f73732f656e7472792f656e7472792d320002ad020101008084af5f0080a7f2a60101008084af5f\
     018090bcfd02",
];

/// A plan in the store, of 4464d3d.
const PLAN: &str = "ad02010767726f75702d31ac02076d6f64656c2d610204766d2d37fbd0c4cfa23404766d2d38fbd0c4cf\
    a2340104766d2d39fbd0c4cfa234ab0201";

/// An entry of the list of entry VMs, of 4464d3d, as text.
const LIST_ENTRY: &str = "10.1.0.40:7340 zone-a 1000";
/// Index of a kind that no build has.
const UNKNOWN_KIND: u8 = 100;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.chars().map(|it| it.to_digit(16).unwrap() as u8).collect();
    digits.chunks_exact(2).map(|it| it[0] << 4 | it[1]).collect()
}

/// Checks both directions: the recorded bytes are read as the value, and the value is written as them.
#[track_caller]
fn check<T: Debug + Serialize + DeserializeOwned>(value: &T, recorded: &str) {
    let recorded = bytes(recorded);
    let read: T = postcard::from_bytes(&recorded).unwrap();
    assert_eq!(format!("{read:?}"), format!("{value:?}"));
    assert_eq!(postcard::to_allocvec(value).unwrap(), recorded, "{value:?}");
}

#[test]
fn messages_of_the_former_build() {
    let messages = values::messages();
    assert_eq!(messages.len(), MESSAGES.len());
    for (message, recorded) in messages.iter().zip(MESSAGES) {
        check(message, recorded);
    }
}

#[test]
fn questions_and_answers_of_relays() {
    check(&values::relay_question(), RELAY_QUESTION);
    let answers = values::relay_answers();
    assert_eq!(answers.len(), RELAY_ANSWERS.len());
    for (answer, recorded) in answers.iter().zip(RELAY_ANSWERS) {
        check(answer, recorded);
    }
    // Relays of another form would not be asked, and all followers would turn to the store.
    assert_eq!(CHANGES_PATH, "/changes/3");
}

#[test]
fn plans_in_the_store() {
    check(&values::plan(), PLAN);
}

#[test]
fn entries_of_the_list_and_the_planners_key() {
    let entry = values::list_entry();
    assert_eq!(LIST_ENTRY.parse(), Ok(entry.clone()));
    assert_eq!(entry.to_string(), LIST_ENTRY);
    // The planner's key holds the name of an entry VM as it is in the key of its entry.
    assert_eq!(PLANNER_KEY, "mangocross/planner");
    assert_eq!(ENTRY_VMS_PREFIX, "mangocross/entry/");
}

/// Guards against a kind that is inserted before others: the former build would take it for another
/// one in place of skipping it.
#[test]
fn added_kinds_follow_those_of_the_former_build() {
    for (index, message) in values::added_messages().iter().enumerate() {
        let written = postcard::to_allocvec(message).unwrap();
        assert_eq!(usize::from(written[0]), MESSAGES.len() + index, "{message:?}");
        let read: Message = postcard::from_bytes(&written).unwrap();
        assert_eq!(format!("{read:?}"), format!("{message:?}"));
    }
}

/// Guards against a receiver that takes a kind of a later build for one that it knows.
#[test]
fn unknown_kinds_are_errors() {
    let error = postcard::from_bytes::<Message>(&[UNKNOWN_KIND, 0, 0, 0]).unwrap_err();
    assert_eq!(error, postcard::Error::SerdeDeCustom);
}
