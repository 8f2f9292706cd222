//! Which texts can be a part of a message whose fields are separated by blanks and that ends
//! with a line end. Texts from clients, servers, the configuration and the store are checked
//! where they arrive, so that a message has the fields that its writer meant.

/// Whether a text can be the last field of a message: it contains nothing that a reader may
/// take for the end of the message (CR, LF) or of the text (NUL).
#[must_use]
pub fn is_line(text: &str) -> bool {
    !text.bytes().any(|byte| matches!(byte, b'\r' | b'\n' | b'\0'))
}

/// Whether a text can be any field of a message: it is not empty and has no blanks or control
/// characters, of any alphabet.
#[must_use]
pub fn is_word(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}
