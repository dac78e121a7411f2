//! Checks a received response head before any of it is used or forwarded.
//!
//! hyper accepts heads whose parts contradict each other about the length of the body, and statuses
//! that HTTP does not have. The caller would receive such a response as a complete one, with another
//! body than the target's.

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Method, Response, StatusCode, Version};
use std::ops::Range;

/// Statuses of final responses. Nodes ask for no upgrade, so 101 is not one of them.
const FINAL_STATUSES: Range<u16> = 200..600;

/// How a response states the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
    /// The body ends with the connection, if there is one.
    Close,
}

/// Whether a response to a request with this method has a status of HTTP and states how its body
/// ends, without contradiction (RFC 9112, 6 and 9.3; RFC 9110, 8.6 and 15).
pub fn is_valid<B>(method: &Method, response: &Response<B>) -> bool {
    let (status, version) = (response.status(), response.version());
    let headers = response.headers();
    let framing = read_framing(headers);
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return false;
    }
    match (status, framing) {
        (_, None) => false,
        (StatusCode::NO_CONTENT, Some(framing)) => {
            matches!(framing, Framing::Close | Framing::Length(0))
        }
        // The length is that of the response to a GET request.
        (StatusCode::NOT_MODIFIED, _) => true,
        (_, Some(Framing::Length(_))) => true,
        (_, Some(Framing::Chunked)) => version >= Version::HTTP_11,
        (_, Some(Framing::Close)) => method == Method::HEAD || is_last(version, headers),
    }
}

/// Reads the fields that frame the body. Returns `None` if they contradict each other.
fn read_framing(headers: &HeaderMap) -> Option<Framing> {
    let coding = read_single(headers, &TRANSFER_ENCODING)?;
    let length = read_single(headers, &CONTENT_LENGTH)?;
    match (coding, length) {
        (None, None) => Some(Framing::Close),
        (Some(coding), None) => coding.eq_ignore_ascii_case(b"chunked").then_some(Framing::Chunked),
        (None, Some(length)) => parse_length(length).map(Framing::Length),
        (Some(_), Some(_)) => None,
    }
}

/// The value of a header that may occur only once. Returns `None` if it is repeated.
fn read_single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<Option<&'a [u8]>> {
    let mut values = headers.get_all(name).iter();
    let first = values.next().map(|value| value.as_bytes());
    values.next().is_none().then_some(first)
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

/// Whether the sender closes the connection after this response.
fn is_last(version: Version, headers: &HeaderMap) -> bool {
    let lists = |option: &str| {
        let values = headers.get_all(CONNECTION).iter();
        let mut options =
            values.filter_map(|value| value.to_str().ok()).flat_map(|text| text.split(','));
        options.any(|listed| listed.trim().eq_ignore_ascii_case(option))
    };
    lists("close") || version < Version::HTTP_11 && !lists("keep-alive")
}
