//! A writer that never waits for its reader.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Lines that wait for a slow reader; further ones are left out and counted.
const LINES_MAX: usize = 2048;

/// Hands lines to a thread that writes them.
///
/// Where the reader is slower than the lines come, lines are left out, and a
/// line with their number follows as soon as there is room.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    left_out: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts the thread that writes to an output.
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let (lines, received) = mpsc::sync_channel(LINES_MAX);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        thread::spawn(move || write_all(output, &received, &counted));
        Self { lines, line: Vec::new(), left_out }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if data.ends_with(b"\n") && self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut output: impl Write, lines: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    for line in lines {
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!("{{\"message\":\"lines left out\",\"lines\":{count}}}\n");
            if output.write_all(note.as_bytes()).is_err() {
                return;
            }
        }
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
