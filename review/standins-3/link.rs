//! A link between the gateways and one replica, which can be cut. What is under way is held up and arrives after the cut;
//! new connections are refused meanwhile.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    pub fn start(addr: SocketAddr, target: SocketAddr) -> Self {
        let link = Self { addr, target, is_cut: Arc::new((Mutex::new(false), Condvar::new())) };
        link.listen();
        link
    }

    fn is_cut(&self) -> bool {
        *self.is_cut.0.lock().expect("no panic under the lock")
    }

    /// Listens until the next cut.
    fn listen(&self) {
        let listener = TcpListener::bind(self.addr).expect("the link's address is free");
        listener.set_nonblocking(true).expect("a listener");
        let link = self.clone();
        thread::spawn(move || {
            while !link.is_cut() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let link = link.clone();
                        thread::spawn(move || link.connect(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn connect(&self, near: TcpStream) {
        let _set = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(self.target) else {
            return;
        };
        for stream in [&near, &far] {
            let _set = stream.set_nodelay(true);
        }
        let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let link = self.clone();
        thread::spawn(move || link.pump(near_2, far_2));
        self.pump(far, near);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 << 10];
        loop {
            let len = from.read(&mut buf);
            let mut is_cut = self.is_cut.0.lock().expect("no panic under the lock");
            while *is_cut {
                is_cut = self.is_cut.1.wait(is_cut).expect("no panic under the lock");
            }
            drop(is_cut);
            match len {
                Ok(len) if len > 0 => {
                    if to.write_all(&buf[..len]).is_err() {
                        return;
                    }
                }
                _ => {
                    let _ended = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }

    pub fn cut(&self) {
        *self.is_cut.0.lock().expect("no panic under the lock") = true;
        // The listener is closed within a moment.
        while TcpStream::connect(self.addr).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Ends the cut. New connections come first, then what was held up.
    pub fn heal(&self) {
        let mut is_cut = self.is_cut.0.lock().expect("no panic under the lock");
        *is_cut = false;
        self.listen();
        self.is_cut.1.notify_all();
    }
}
