//! A writer that never blocks on its output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Lines that are queued for a slow output; further ones are dropped and counted.
const QUEUED_LINES_MAX: usize = 2048;

/// Passes lines to a thread that writes them.
///
/// If the output is too slow, lines are dropped. A line with the number of dropped lines precedes
/// the next line that is written.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts a thread that writes to the output.
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let (lines, received) = mpsc::sync_channel(QUEUED_LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        thread::spawn(move || write_all(output, &received, &dropped_count));
        Self { lines, line: Vec::new(), dropped }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if data.ends_with(b"\n") && self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    for line in lines {
        let count = dropped.swap(0, Ordering::Relaxed);
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
