//! The table of result codes in the documentation matches the code.

use std::path::Path;

use mangocross_types::ResultCode;

#[test]
fn documented_codes_match_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows = page.lines().filter(|it| it.starts_with("| ") && it.as_bytes()[2].is_ascii_digit());
    let documented: Vec<(u16, String, u16)> = rows
        .map(|row| {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            (cells[1].parse().unwrap(), cells[2].to_owned(), cells[3].parse().unwrap())
        })
        .collect();
    let known: Vec<(u16, String, u16)> = ResultCode::ALL
        .iter()
        .map(|it| (it.number(), it.name().to_owned(), it.http_status()))
        .collect();
    assert_eq!(documented, known);
}

#[test]
fn numbers_increase_and_convert_back_to_their_code() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|it| it.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(ResultCode::ALL.iter().all(|it| ResultCode::try_from(it.number()) == Ok(*it)));
}
