//! Request bodies in memory. Each byte that is held counts towards a limit that all requests share, whether the body is being
//! read or kept for another attempt, and whether or not its length was announced.

use crate::rejection::Rejection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Limit on the bytes of all bodies, as a fraction of the memory. The rest is for the buffers of sockets and connections.
const BODY_MEMORY_FRACTION: f64 = 0.5;
/// Fraction of the limit that is available to bodies longer than [`SMALL_BODY_BYTES`], so that they leave room for short ones.
const LARGE_BODY_FRACTION: f64 = 0.75;
/// Size of the blocks in which a body without an announced length is read.
const BLOCK_BYTES: usize = 64 << 10;
/// Maximum length of a body that may use the whole limit.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The memory for request bodies.
pub struct BodyMemory {
    limit: usize,
    held: Cell<usize>,
}

impl BodyMemory {
    /// The memory for bodies of a process with `memory_mb` megabytes.
    pub fn new(memory_mb: u64) -> BodyMemory {
        let limit = (memory_mb as f64 * 1e6 * BODY_MEMORY_FRACTION) as usize;
        BodyMemory { limit, held: Cell::new(0) }
    }

    /// The limit for a body of this length.
    fn limit_for(&self, length: usize) -> usize {
        if length <= SMALL_BODY_BYTES {
            self.limit
        } else {
            (self.limit as f64 * LARGE_BODY_FRACTION) as usize
        }
    }
}

/// Bytes of a body that count towards the limit until this is dropped.
struct HeldBytes {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl HeldBytes {
    fn new(memory: Rc<BodyMemory>) -> HeldBytes {
        HeldBytes { memory, bytes: 0 }
    }

    /// Counts at least this many bytes.
    fn grow_to(&mut self, bytes: usize) -> Result<(), Rejection> {
        let added = bytes.saturating_sub(self.bytes);
        let held = self.memory.held.get() + added;
        if added > 0 && held > self.memory.limit_for(bytes) {
            return Err(Rejection::Unavailable);
        }
        self.memory.held.set(held);
        self.bytes += added;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.bytes);
    }
}

/// A request's body, which counts towards the limit until it is dropped.
pub struct RequestBody {
    bytes: Bytes,
    _held: HeldBytes,
}

impl RequestBody {
    /// The complete body.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// Reads a body of at most `max_bytes` until `deadline`.
    ///
    /// # Errors
    /// [`Rejection::BodyTooLarge`]; [`Rejection::Unavailable`] if the memory for bodies is in use, before more is read;
    /// [`Rejection::BodyIncomplete`] if the client aborts the body or is too slow.
    pub async fn read(
        memory: &Rc<BodyMemory>, body: Incoming, max_bytes: usize, deadline: Instant,
    ) -> Result<RequestBody, Rejection> {
        let announced_bytes = body.size_hint().lower() as usize;
        if announced_bytes > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        let mut held = HeldBytes::new(memory.clone());
        held.grow_to(announced_bytes)?;
        let reading = tokio::time::timeout_at(deadline, collect(body, &mut held, max_bytes));
        let bytes = reading.await.unwrap_or(Err(Rejection::BodyIncomplete))?;
        Ok(RequestBody { bytes, _held: held })
    }
}

async fn collect(mut body: Incoming, held: &mut HeldBytes, max_bytes: usize) -> Result<Bytes, Rejection> {
    let mut buffer = BlockBuffer::with_capacity(held.bytes);
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(|_| Rejection::BodyIncomplete)?.into_data() else { continue };
        let length = buffer.length + data.len();
        if length > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        held.grow_to(length)?;
        buffer.push(&data);
    }
    Ok(buffer.into_bytes())
}

/// Bytes of a body whose length is not known. They are kept in blocks: a single allocation that grows would need up to three
/// times its size while it is moved.
struct BlockBuffer {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl BlockBuffer {
    /// An empty buffer, with a first block of `capacity` bytes.
    fn with_capacity(capacity: usize) -> BlockBuffer {
        BlockBuffer { blocks: vec![Vec::with_capacity(capacity)], length: 0 }
    }

    fn push(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let last = self.blocks.last_mut().filter(|block| block.len() < block.capacity());
            let Some(block) = last else {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                continue;
            };
            let (fitting, rest) = data.split_at(data.len().min(block.capacity() - block.len()));
            block.extend_from_slice(fitting);
            data = rest;
        }
    }

    fn into_bytes(self) -> Bytes {
        let mut blocks = self.blocks.into_iter().filter(|block| !block.is_empty());
        let Some(first) = blocks.next() else { return Bytes::new() };
        if first.len() == self.length {
            return first.into();
        }
        let mut bytes = Vec::with_capacity(self.length);
        for block in std::iter::once(first).chain(blocks) {
            bytes.extend_from_slice(&block);
        }
        bytes.into()
    }
}

#[cfg(test)]
mod tests;
