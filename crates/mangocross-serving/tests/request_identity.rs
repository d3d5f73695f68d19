//! What makes two requests the same.

use mangocross_serving::RequestIdentity;
use mangocross_types::CustomerId;

/// Two requests differ in each of the fields, and where one field ends and the next begins.
#[test]
fn each_field_makes_a_difference() {
    let customer = |it: &str| it.parse::<CustomerId>().expect("a valid id");
    let (t1, t2) = (customer("t1"), customer("t2"));
    let identities = [
        RequestIdentity::new("POST", "a.example", "/x", Some(&t1), b"{}"),
        RequestIdentity::new("GET", "a.example", "/x", Some(&t1), b"{}"),
        RequestIdentity::new("POST", "b.example", "/x", Some(&t1), b"{}"),
        RequestIdentity::new("POST", "a.example", "/x?y", Some(&t1), b"{}"),
        RequestIdentity::new("POST", "a.example", "/x", Some(&t2), b"{}"),
        RequestIdentity::new("POST", "a.example", "/x", None, b"{}"),
        RequestIdentity::new("POST", "a.example", "/x", Some(&t1), b"{ }"),
        RequestIdentity::new("POST", "a.example/", "x", Some(&t1), b"{}"),
        RequestIdentity::new("POST", "a.example", "/xt1", None, b"{}"),
    ];
    for (index, identity) in identities.iter().enumerate() {
        assert!(!identities[..index].contains(identity), "{index}");
    }
    assert_eq!(identities[0].to_string().len(), 16);
}
