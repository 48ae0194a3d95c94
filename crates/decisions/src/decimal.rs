//! Decimal numbers in headers of upstreams.

/// Parses a decimal number from 0 to `max`, as in `2.5`; signs, exponents and words are invalid.
pub fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = text.parse().ok()?;
    (is_decimal && number <= max).then_some(number)
}
