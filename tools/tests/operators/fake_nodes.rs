//! Simulated admin ports with configurable responses, served by one thread.

use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Response bodies by path. Other paths return 404.
type ResponseBodies = Arc<Mutex<IndexMap<String, String>>>;

/// A set of running admin ports, stopped on drop.
pub struct FakeNodes {
    pub addresses: Vec<SocketAddr>,
    bodies: Vec<ResponseBodies>,
    _stop: async_channel::Sender<()>,
}

impl FakeNodes {
    /// Starts `count` ports. `make_bodies` returns the response bodies of the port with that index.
    pub fn start(
        count: usize,
        make_bodies: impl Fn(usize) -> IndexMap<String, String>,
    ) -> FakeNodes {
        let bind = |_| Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let listeners: Vec<_> = (0..count).map(bind).collect();
        let addresses = listeners.iter().map(|l| l.get_ref().local_addr().unwrap()).collect();
        let bodies: Vec<ResponseBodies> =
            (0..count).map(|i| Arc::new(Mutex::new(make_bodies(i)))).collect();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let served_bodies = bodies.clone();
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for (listener, bodies) in listeners.into_iter().zip(served_bodies) {
                let spawner = executor.clone();
                executor.spawn(accept_connections(spawner, listener, bodies)).detach();
            }
            let _ = async_io::block_on(executor.run(stopped.recv()));
        });
        FakeNodes { addresses, bodies, _stop: stop }
    }

    /// Sets the response body of a port for a path.
    pub fn set_response(&self, index: usize, path: &str, body: String) {
        self.bodies[index].lock().unwrap().insert(path.to_owned(), body);
    }
}

async fn accept_connections(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    bodies: ResponseBodies,
) {
    while let Ok((stream, _)) = listener.accept().await {
        executor.spawn(serve_connection(stream, bodies.clone())).detach();
    }
}

async fn serve_connection(stream: Async<TcpStream>, bodies: ResponseBodies) {
    let service = service_fn(move |req: hyper::Request<hyper::body::Incoming>| {
        let body = bodies.lock().unwrap().get(req.uri().path()).cloned();
        let status = if body.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
        let mut response = Response::new(Full::new(Bytes::from(body.unwrap_or_default())));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let http = hyper::server::conn::http1::Builder::new();
    let _ = http.serve_connection(FuturesIo::new(stream), service).await;
}
