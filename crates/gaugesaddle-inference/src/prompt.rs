//! The description of a request's prompt that the client sends in headers.

/// Maximum number of blocks that are parsed; further blocks do not improve a choice.
const MAX_BLOCKS: usize = 64;

/// A block of a prompt, such as a system prompt or a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// The client's identifier of the block: equal for requests that share it.
    pub id: u64,
    /// Length of the block in tokens.
    pub tokens: u64,
}

/// The blocks of a prompt, in order. All but the last one may be shared with other requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks(pub Vec<PromptBlock>);

impl PromptBlocks {
    /// Parses `ID:TOKENS,ID:TOKENS`, with IDs in hexadecimal; `None` for any other text.
    pub fn parse(text: &str) -> Option<PromptBlocks> {
        let block = |item: &str| {
            let (id, tokens) = item.trim().split_once(':')?;
            Some(PromptBlock { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
        };
        let blocks: Option<Vec<PromptBlock>> = text.split(',').take(MAX_BLOCKS).map(block).collect();
        blocks.map(PromptBlocks)
    }

    /// ID of the last block that may be shared, or of the only block; `None` without blocks.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.0.len().checked_sub(1)?;
        self.0.get(shared.saturating_sub(1)).map(|block| block.id)
    }
}

/// The properties of a prompt that the choice of a backend depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// ID of the last block that may be shared, or of the only block; `None` without blocks.
    pub prefix: Option<u64>,
    /// Tokens of the blocks that may be shared.
    pub shared_tokens: u64,
    /// Tokens of all blocks.
    pub total_tokens: u64,
}

impl Prompt {
    /// Tokens that a backend has to compute even if it has the shared blocks in its cache.
    pub fn own_tokens(&self) -> u64 {
        self.total_tokens - self.shared_tokens
    }
}

impl From<&PromptBlocks> for Prompt {
    fn from(blocks: &PromptBlocks) -> Prompt {
        let total_tokens = blocks.0.iter().fold(0, |sum: u64, block| sum.saturating_add(block.tokens));
        let own_tokens = blocks.0.last().map_or(0, |block| block.tokens);
        Prompt { prefix: blocks.shared_prefix(), shared_tokens: total_tokens - own_tokens, total_tokens }
    }
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub output: u64,
}

impl TokenUsage {
    /// Parses `PROMPT,OUTPUT`; `None` for any other text.
    pub fn parse(text: &str) -> Option<TokenUsage> {
        let (prompt, output) = text.split_once(',')?;
        Some(TokenUsage { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
    }

    /// Sum of prompt and output tokens.
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}
