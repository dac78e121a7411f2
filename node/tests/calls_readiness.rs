//! Reads of a connection whose peer sends faster than the node reads.

use async_io::Async;
use futures_lite::AsyncRead;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use sycamore_node::calls::readiness::ReadinessStream;

/// Bytes that wait in the socket before the first read. Its buffers hold them.
const WAITING_BYTES: usize = 200_000;

/// Bytes that may be read before the other tasks of the thread get their turn.
const MAX_BYTES_AT_ONCE: usize = 65_536;

#[derive(Default)]
struct CountingWaker {
    wakes: AtomicUsize,
}

impl Wake for CountingWaker {
    fn wake(self: Arc<Self>) {
        self.wakes.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a task that keeps its thread for as long as its peer sends, and against one that is
/// not woken after it has made way.
#[test]
fn read_yields_while_data_waits() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (receiver, _) = listener.accept().unwrap();
    sender.write_all(&[b'x'; WAITING_BYTES]).unwrap();
    drop(sender);
    let mut stream = ReadinessStream::new(Async::new(receiver).unwrap());
    let counter = Arc::new(CountingWaker::default());
    let waker = Waker::from(counter.clone());
    let mut cx = Context::from_waker(&waker);
    let mut buf = vec![0; MAX_BYTES_AT_ONCE];
    let (mut total, mut at_once, mut yields) = (0, 0, 0);
    while total < WAITING_BYTES {
        let wakes = counter.wakes.load(Ordering::SeqCst);
        match Pin::new(&mut stream).poll_read(&mut cx, &mut buf) {
            Poll::Ready(count) => {
                total += count.as_ref().unwrap();
                at_once += count.unwrap();
                assert!(at_once <= MAX_BYTES_AT_ONCE, "{at_once} bytes without a pause");
            }
            Poll::Pending => {
                yields += 1;
                at_once = 0;
                // A wake-up that comes with the yield, or with the data that is still on its way.
                while counter.wakes.load(Ordering::SeqCst) == wakes {
                    std::thread::yield_now();
                }
            }
        }
    }
    assert!(yields >= WAITING_BYTES / MAX_BYTES_AT_ONCE, "{yields} pauses");
}
