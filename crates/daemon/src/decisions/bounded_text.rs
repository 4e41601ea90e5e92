//! JSON whose texts are cut to a bounded length: they may be other writers', of any length.

use std::io::{self, Write};

use headlatch_types::reading::prefix;
use serde::Serialize;
use serde_json::ser::{CharEscape, Formatter, Serializer};

/// Longest text, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// Length of the longest escape, such as `\u0000`.
const MAX_ESCAPE_BYTES: usize = 6;

/// Follows a text that was cut.
const ELLIPSIS: &[u8] = "…".as_bytes();

/// Writes compact JSON and cuts each text after [`MAX_TEXT_BYTES`].
#[derive(Debug, Default)]
struct BoundedText {
    written: usize,
    is_cut: bool,
}

impl Formatter for BoundedText {
    fn begin_string<W: ?Sized + Write>(&mut self, writer: &mut W) -> io::Result<()> {
        *self = Self::default();
        writer.write_all(b"\"")
    }

    fn write_string_fragment<W: ?Sized + Write>(
        &mut self,
        writer: &mut W,
        fragment: &str,
    ) -> io::Result<()> {
        if self.is_cut {
            return Ok(());
        }
        let kept = prefix(fragment, MAX_TEXT_BYTES.saturating_sub(self.written));
        self.written += kept.len();
        self.is_cut = kept.len() < fragment.len();
        writer.write_all(kept.as_bytes())
    }

    fn write_char_escape<W: ?Sized + Write>(
        &mut self,
        writer: &mut W,
        escape: CharEscape,
    ) -> io::Result<()> {
        self.is_cut |= self.written >= MAX_TEXT_BYTES;
        if self.is_cut {
            return Ok(());
        }
        self.written += MAX_ESCAPE_BYTES;
        serde_json::ser::CompactFormatter.write_char_escape(writer, escape)
    }

    fn end_string<W: ?Sized + Write>(&mut self, writer: &mut W) -> io::Result<()> {
        if self.is_cut {
            writer.write_all(ELLIPSIS)?;
        }
        writer.write_all(b"\"")
    }
}

/// Appends `value` to `bytes` as JSON with bounded texts.
pub(super) fn write_json(bytes: &mut Vec<u8>, value: &impl Serialize) -> serde_json::Result<()> {
    value.serialize(&mut Serializer::with_formatter(bytes, BoundedText::default()))
}
