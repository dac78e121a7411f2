//! What VMs say of themselves, passed on along the tree.

use super::Spread;
use super::limits::{ANNOUNCE_RANDOM, MAX_WORDS_TAKEN, WORDS_DELAY};
use super::message::{PeerMsg, Word};
use super::port::{Output, Peer};
use super::topology;
use crate::Time;

/// Words that wait to be passed on.
#[derive(Debug, Default)]
pub struct Words {
    waiting: Vec<Word>,
    at: Option<Time>,
}

impl Words {
    /// When the waiting words are passed on.
    pub fn next(&self) -> Option<Time> {
        self.at
    }

    fn push(&mut self, now: Time, word: Word) {
        self.waiting.retain(|waiting| waiting.vm != word.vm);
        self.waiting.push(word);
        self.at.get_or_insert(now + WORDS_DELAY);
    }
}

impl Spread {
    /// Takes a word; `direct` if it came from the node that it is about. Words that change what
    /// is known are passed on; all others end here, so that a word goes over each link once.
    pub(super) fn hear_word(&mut self, now: Time, word: &Word, direct: bool) {
        if word.vm == self.cfg.vm {
            return;
        }
        if self.members.take_word(now, word, direct) {
            self.lists_changed();
            self.words.push(now, word.clone());
        }
    }

    pub(super) fn take_words(&mut self, now: Time, words: &[Word]) {
        for word in words.iter().take(MAX_WORDS_TAKEN) {
            self.hear_word(now, word, false);
        }
    }

    /// Tells neighbours of the node's own state.
    pub(super) fn announce(&mut self, now: Time, out: &mut Vec<Output>) {
        let (own, zone) = (self.cfg.vm.clone(), self.cfg.place.zone.clone());
        let word = self.word.clone();
        for _ in 0..ANNOUNCE_RANDOM {
            let member = self.members.random_live(now, &zone, &own, &mut self.rng);
            if let Some(peer) = member.map(topology::peer) {
                self.send(&peer, PeerMsg::Words(vec![word.clone()]), out);
            }
        }
        self.words.push(now, word);
        self.words.at = Some(now);
    }

    pub(super) fn tick_words(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.words.at.is_none_or(|at| now < at) {
            return;
        }
        self.words.at = None;
        let words = std::mem::take(&mut self.words.waiting);
        let mut told: Vec<Peer> = self.children.live(now).cloned().collect();
        told.extend(self.attach.parent().cloned());
        for peer in told {
            self.send(&peer, PeerMsg::Words(words.clone()), out);
        }
    }
}
