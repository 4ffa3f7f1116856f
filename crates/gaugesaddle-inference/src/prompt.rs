//! What a request says of its prompt.

/// Parts of a prompt that are looked at; more are no use for a choice.
const MOST_PARTS: usize = 64;

/// The parts of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(pub Vec<(u64, u64)>);

impl PromptParts {
    /// Reads `ID:TOKENS,ID:TOKENS`, IDs in hex; `None` where it is not of that form.
    pub fn parse(text: &str) -> Option<PromptParts> {
        let part = |item: &str| {
            let (id, tokens) = item.trim().split_once(':')?;
            Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
        };
        text.split(',').take(MOST_PARTS).map(part).collect::<Option<Vec<_>>>().map(PromptParts)
    }

    /// The last part that other requests may share: all but the prompt's own last one.
    pub fn subject(&self) -> Option<u64> {
        let shared = self.0.len().checked_sub(1)?;
        self.0.get(shared.saturating_sub(1)).map(|(id, _)| *id)
    }
}

/// What a choice needs to know of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its last part that others share, if it has parts.
    pub subject: Option<u64>,
    /// Tokens of the parts that others share.
    pub shared: u64,
    /// Tokens of all parts.
    pub total: u64,
}

impl Prompt {
    /// Tokens that a backend has to read which keeps the shared parts, or does not.
    pub fn unread(&self, warm: bool) -> u64 {
        if warm {
            self.total - self.shared
        } else {
            self.total
        }
    }
}

impl From<&PromptParts> for Prompt {
    fn from(parts: &PromptParts) -> Prompt {
        let total = parts.0.iter().fold(0, |sum: u64, (_, tokens)| sum.saturating_add(*tokens));
        let own = parts.0.last().map_or(0, |(_, tokens)| *tokens);
        Prompt { subject: parts.subject(), shared: total - own, total }
    }
}

/// Tokens of a prompt, and the most that may come out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Of the prompt.
    pub prompt: u64,
    /// Out, at most.
    pub output: u64,
}

impl TokenUsage {
    /// Reads `PROMPT,OUTPUT`.
    pub fn parse(text: &str) -> Option<TokenUsage> {
        let (prompt, output) = text.split_once(',')?;
        Some(TokenUsage { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
    }

    /// Both together.
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}
