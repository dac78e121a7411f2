//! What the call paths of two nodes tell each other besides calls.

use crate::Name;

json! {
    /// A note from one node's call path to another's.
    pub struct Note {}

    /// A note on its way out.
    pub struct OutgoingNote {
        /// VM of the node that the note is for.
        pub to: Name,
        /// The note.
        pub note: Note,
    }
}
