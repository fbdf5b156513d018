//! The parts of a small deployment: the platform's store, runners, clients, and the
//! gateways as separate processes. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::CommandExt},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Writes to `record.txt` what happened, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|err| cannot_run(&err));
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the script with the status that says that the case couldn't run.
pub fn cannot_run(reason: &dyn std::fmt::Display) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

pub fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// A message of HTTP/1.1 with its body, if that has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, v)| v.to_owned())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head<R: BufRead>(from: &mut R) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
            _ => message.first_line = line.to_owned(),
        }
    }
}

fn read_request<R: BufRead>(from: &mut R) -> Option<Message> {
    let mut request = read_head(from)?;
    let length = request.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    from.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Serves connections, each on a thread; `answer` returns whether the connection stays.
fn serve<F>(answer: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|err| cannot_run(&err));
    let address = listener.local_addr().unwrap_or_else(|err| cannot_run(&err));
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !matches!(answer(&request, &mut writer), Ok(true)) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// Writes a complete answer.
pub fn write_answer(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        answer.push_str(&format!("{name}: {value}\r\n"));
    }
    answer.push_str("\r\n");
    let mut bytes = answer.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)?;
    Ok(true)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

#[derive(Default)]
struct Topic {
    /// Records from offset 0 on: key and value.
    records: Vec<(String, Vec<u8>)>,
}

impl Topic {
    fn newest(&self) -> BTreeMap<&str, (usize, &[u8])> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value.as_slice()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        newest
    }
}

/// The platform's store: keyed topics with one partition.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)> = Arc::default();
        let served = topics.clone();
        let address = serve(move |request, to| answer_call(&served, request, to));
        Store { address, topics }
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (lock, changed) = &*self.topics;
        let mut topics = lock.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }
}

fn answer_call(
    topics: &(Mutex<HashMap<String, Topic>>, Condvar),
    request: &Message,
    to: &mut TcpStream,
) -> io::Result<bool> {
    const JSON: &[(&str, &str)] =
        &[("Content-Type", "application/json"), ("Store-Era", "0")];
    let (lock, changed) = topics;
    let path = request.target().split('?').next().unwrap_or("");
    let name = request.query("topic").unwrap_or_default();
    match path {
        "/v1/log-newest" => {
            let mut topics = lock.lock().unwrap();
            let topic = topics.entry(name).or_default();
            let items = topic.newest().into_iter().map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            });
            let items: Vec<String> = items.collect();
            let end = topic.records.len();
            let items = items.join(",");
            let body = format!(r#"{{"items":[{items}],"truncated":false,"end":{end}}}"#);
            drop(topics);
            write_answer(to, "200 OK", JSON, body.as_bytes())
        }
        "/v1/log-read" => {
            let from = request.number("from").unwrap_or(0) as usize;
            let wait_ms = request.number("wait_ms").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let mut topics = lock.lock().unwrap();
            let mut body = Vec::new();
            loop {
                let topic = topics.entry(name.clone()).or_default();
                let left = until.saturating_duration_since(Instant::now());
                if topic.records.len() <= from && !left.is_zero() {
                    topics = changed.wait_timeout(topics, left).unwrap().0;
                    continue;
                }
                body.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend_from_slice(&(length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                break;
            }
            drop(topics);
            write_answer(to, "200 OK", &[("Store-Era", "0")], &body)
        }
        "/v1/log-append" => {
            let mut topics = lock.lock().unwrap();
            let topic = topics.entry(name).or_default();
            let offset = topic.records.len();
            let expected = request.number("at");
            if expected.is_some_and(|at| at != offset as u64) {
                drop(topics);
                let body = format!(r#"{{"end":{offset}}}"#);
                return write_answer(to, "412 No", JSON, body.as_bytes());
            }
            let mut rest = &request.body[..];
            while rest.len() > 5 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
                let (record, after) = rest[4..].split_at(length as usize);
                let (key, value) = record[1..].split_at(usize::from(record[0]));
                let key = String::from_utf8_lossy(key).into_owned();
                topic.records.push((key, value.to_vec()));
                rest = after;
            }
            let end = topic.records.len();
            changed.notify_all();
            drop(topics);
            let body = format!(r#"{{"offset":{offset},"end":{end}}}"#);
            write_answer(to, "200 OK", JSON, body.as_bytes())
        }
        _ => write_answer(to, "404 Not Found", JSON, b""),
    }
}

/// A runner, which writes its entry to the store every 1.2 s.
pub struct Runner;

impl Runner {
    pub fn start<F>(store: &Store, service: &str, id: &str, slots: u32, answer: F)
    where
        F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        Self::start_until(store, service, id, slots, Arc::default(), answer);
    }

    /// The same; it answers and writes nothing any more once it has `crashed`.
    pub fn start_until<F>(
        store: &Store,
        service: &str,
        id: &str,
        slots: u32,
        crashed: Arc<AtomicBool>,
        answer: F,
    ) where
        F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let own = id.to_owned();
        let has_crashed = crashed.clone();
        let address = serve(move |request, to| {
            if has_crashed.load(Ordering::Relaxed) {
                return Ok(false);
            }
            let wanted = request.header("x-target-instance");
            if wanted.is_some_and(|wanted| wanted != own) {
                let id = request.header("x-request-id").unwrap_or("");
                return write_answer(to, "421 Misdirected", &[("X-Request-Id", id)], b"");
            }
            answer(request, to)
        });
        let (store, service, key) = (store.clone(), service.to_owned(), id.to_owned());
        let born = wall_ms();
        thread::spawn(move || {
            for seq in 1.. {
                if crashed.load(Ordering::Relaxed) {
                    break;
                }
                let entry = format!(
                    r#"{{"service":"{service}","addr":"{address}","zone":"a","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"seq":{seq},"born":{born}}}"#
                );
                store.put("keyed.servers", &key, &entry);
                pause_ms(1_200);
            }
        });
    }
}

/// Draws addresses whose ports differ, and frees them.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|err| cannot_run(&err)))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|a| a.unwrap_or_else(|err| cannot_run(&err))).collect()
}

/// A gateway, run as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The settings of a front on the site procure-sicilia.
pub const PROCURE: &[(&str, &str)] = &[
    ("bounds.retry_ratio", "0.9"),
    ("bounds.retry_slack", "58"),
    ("bounds.retry_window_s", "10"),
    ("bounds.expose_share", "0.15"),
    ("bounds.expose_slack", "30"),
    ("bounds.session_s", "5"),
    ("bounds.grace_s", "8"),
    ("limits.memory_mb", "110"),
    ("limits.max_fds", "4100"),
    ("zone", "a"),
    ("region", "sicilia"),
    ("ip", "127.0.0.1"),
];

/// The settings of the smallest front on the site pcant-ruta-grown.
pub const PCANT: &[(&str, &str)] = &[
    ("bounds.retry_ratio", "0.9"),
    ("bounds.retry_slack", "84"),
    ("bounds.retry_window_s", "10"),
    ("bounds.expose_share", "0.0975"),
    ("bounds.expose_slack", "30"),
    ("bounds.session_s", "8.5"),
    ("bounds.grace_s", "8"),
    ("limits.memory_mb", "120"),
    ("limits.max_fds", "3075"),
    ("zone", "a"),
    ("region", "norte-es"),
    ("ip", "127.0.0.1"),
];

/// Fills in the template of the deploy file.
fn fill_template(template: &str, values: &HashMap<String, String>) -> String {
    let mut filled = String::new();
    for line in template.lines() {
        let text = line.trim();
        if text.starts_with("{{#") || text.starts_with("{{/") {
            let name = text.trim_matches(|c| matches!(c, '{' | '}' | '#' | '/'));
            if !values.contains_key(name) {
                cannot_run(&format!("no value for {name} of the template"));
            }
            continue;
        }
        let mut line = line.to_owned();
        while let Some(start) = line.find("{{") {
            let Some(end) = line[start..].find("}}").map(|at| start + at) else {
                break;
            };
            let value = values.get(&line[start + 2..end]);
            let value = value.cloned().unwrap_or_default();
            line.replace_range(start..end + 2, &value);
        }
        filled.push_str(&line);
        filled.push('\n');
    }
    filled
}

impl Gateway {
    /// Starts `count` gateways that know each other, with the settings of a site.
    pub fn start_all(
        store: &Store,
        folder: &Path,
        site: &[(&str, &str)],
        count: usize,
    ) -> Vec<Gateway> {
        let template = fs::read_to_string("deploy/gateway.ini")
            .unwrap_or_else(|err| cannot_run(&err));
        let addresses = free_addresses(4 * count);
        let seeds: Vec<String> = (0..count)
            .map(|index| addresses[4 * index + 2].to_string())
            .collect();
        let start = |index: usize| {
            let own = &addresses[4 * index..4 * index + 4];
            let name = format!("front-{}", index + 1);
            let mut values: HashMap<String, String> = site
                .iter()
                .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
                .collect();
            let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
            set("node", name.clone());
            set("platform.addr", store.address.to_string());
            set("seeds", seeds.join(","));
            set("listen.front", own[0].to_string());
            set("listen.ready", own[1].to_string());
            set("listen.control", own[2].to_string());
            set("port_range.1", own[3].port().to_string());
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, fill_template(&template, &values))
                .unwrap_or_else(|err| cannot_run(&err));
            let log = folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log);
            Gateway {
                name,
                front: own[0],
                ready: own[1],
                settings,
                log,
                child,
            }
        };
        let gateways: Vec<Gateway> = (0..count).map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready();
        }
        gateways
    }

    fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            pause_ms(50);
        }
        cannot_run(&format!("{} is not ready", self.name))
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let head = read_head(&mut BufReader::new(stream));
        head.is_some_and(|head| head.first_line.contains(" 200 "))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the resident memory, MiB.
    pub fn memory_mib(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1_024.0
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.unwrap_or_else(|err| cannot_run(&err));
    let mut command = Command::new("target/release/currantbank");
    // SAFETY: a plain system call, so that the process ends with the script.
    unsafe {
        command.pre_exec(|| {
            const PARENT_DEATH_SIGNAL: i32 = 1;
            prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
            Ok(())
        });
    }
    command
        .arg("gateway")
        .env_clear()
        .env("CURRANTBANK_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap_or_else(|err| cannot_run(&err)))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|err| cannot_run(&err))
}

/// Connects with a receive buffer of `receive_bytes` and a maximum segment of
/// `segment_bytes`; 0 leaves the defaults.
pub fn connect_with(
    address: SocketAddr,
    receive_bytes: i32,
    segment_bytes: i32,
) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain calls of the C library on a socket that this function owns.
    unsafe {
        let fd = socket(2, 1 | 0o2000000, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if receive_bytes > 0 {
            setsockopt(stream.as_raw_fd(), 1, 8, &receive_bytes, 4);
        }
        if segment_bytes > 0 {
            setsockopt(stream.as_raw_fd(), 6, 2, &segment_bytes, 4);
        }
        let mut bytes = [0u8; 16];
        bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
        bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
        bytes[4..8].copy_from_slice(&address.ip().octets());
        if connect(stream.as_raw_fd(), bytes.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How an answer ended at the client.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub status: u16,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub reason: String,
}

/// A reader that takes at most so many bytes at a time, with a pause after each.
pub struct SlowReader {
    pub stream: TcpStream,
    pub bytes: usize,
    pub pause_ms: u64,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.bytes == 0 {
            return self.stream.read(buffer);
        }
        pause_ms(self.pause_ms);
        let most = buffer.len().min(self.bytes);
        self.stream.read(&mut buffer[..most])
    }
}

/// Reads an answer to its end.
pub fn read_answer<R: BufRead>(from: &mut R) -> Seen {
    let mut seen = Seen::default();
    let Some(head) = read_head(from) else {
        seen.reason = "no answer".into();
        return seen;
    };
    let status = head.first_line.split(' ').nth(1);
    seen.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    let chunked = head.header("transfer-encoding").is_some();
    let read = match chunked {
        true => read_chunks(from, &mut seen.body),
        false => {
            let length = head.header("content-length");
            let length: u64 = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            let read = from.take(length).read_to_end(&mut seen.body);
            read.and_then(|read| match read as u64 == length {
                true => Ok(()),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            })
        }
    };
    match read {
        Ok(()) => seen.is_complete = true,
        Err(err) => seen.reason = err.to_string(),
    }
    seen
}

fn read_chunks<R: BufRead>(from: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = u64::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; length as usize + 2];
        let mut at = 0;
        while at < chunk.len() {
            let read = from.read(&mut chunk[at..])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            at += read;
            body.extend_from_slice(&chunk[at - read..at.min(length as usize).max(at - read)]);
        }
        if length == 0 {
            return Ok(());
        }
    }
}

/// Returns a new request id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", wall_ms() as u32)
}

/// Whether the script plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

