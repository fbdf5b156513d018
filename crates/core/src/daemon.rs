//! Starts the daemons.

use entry::Listeners;
use settings::{Role, Settings};
use telemetry::Sink;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

use crate::{exit::Exit, flags::DaemonArgs};

/// Reads the settings and sets up the logger, or tells what is wrong.
fn prepare(role: Role, args: &DaemonArgs) -> Result<Settings, Exit> {
    let settings = Settings::load(role, &args.config).map_err(|faults| {
        eprintln!("{faults}");
        Exit::Usage
    })?;
    let name = match role {
        Role::Entry => settings.entry.listen.to_string(),
        Role::Agent => settings.agent.endpoint.clone(),
        Role::Gateway => settings.process.instance.clone(),
    };
    let sink = match role {
        Role::Entry | Role::Agent => Sink::Stderr,
        Role::Gateway => Sink::Stdout,
    };
    telemetry::init(&settings.log.level, &name, sink).map_err(|err| {
        eprintln!("currantbank: {err}");
        Exit::Failed
    })?;
    Ok(settings)
}

/// Tells a test or a supervisor that the process listens, and where.
fn announce(what: &str, addresses: &str) {
    println!("{what} {addresses}");
}

/// Tells why an address could not be bound.
fn cannot_listen(err: &std::io::Error) -> Exit {
    eprintln!("currantbank: cannot listen ({err}); free the address or change it");
    Exit::Failed
}

/// Runs a daemon whose state is shared without locks.
fn on_one_thread<F>(run: F) -> Exit
where
    F: Future<Output = Exit>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, run)
}

/// Runs `currantbank entry`.
pub fn entry(args: &DaemonArgs) -> Exit {
    let settings = match prepare(Role::Entry, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        let listeners = match Listeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(err) => return cannot_listen(&err),
        };
        let address = |listener: &TcpListener| {
            listener
                .local_addr()
                .map_or("?".into(), |address| address.to_string())
        };
        let addresses = format!(
            "callers={} operators={} peers={}",
            address(&listeners.callers),
            address(&listeners.operators),
            address(&listeners.peers),
        );
        announce("entry", &addresses);
        entry::run(settings, listeners).await;
        Exit::Done
    })
}

/// Runs `currantbank agent`.
pub fn agent(args: &DaemonArgs) -> Exit {
    let settings = match prepare(Role::Agent, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let run = async {
        let listener = match TcpListener::bind(settings.agent.listen).await {
            Ok(listener) => listener,
            Err(err) => return cannot_listen(&err),
        };
        if let Ok(address) = listener.local_addr() {
            announce("agent", &format!("peers={address}"));
        }
        agent::run(settings, listener, stop_signal()).await;
        Exit::Done
    };
    on_one_thread(run)
}

/// Runs `currantbank gateway`.
pub fn gateway(args: &DaemonArgs) -> Exit {
    let settings = match prepare(Role::Gateway, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let file = args.config.clone();
    let run = async {
        let listeners = match gateway::Listeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(err) => return cannot_listen(&err),
        };
        announce("gateway", &listeners.addresses());
        let reloads = reload_signal();
        gateway::run(settings, file, listeners, stop_signal(), reloads).await;
        Exit::Done
    };
    on_one_thread(run)
}

/// Signals that the settings file has changed.
fn reload_signal() -> tokio::signal::unix::Signal {
    signal(SignalKind::hangup()).expect("signals can be received")
}

/// Done when the process is told to stop.
async fn stop_signal() {
    let mut terminate =
        signal(SignalKind::terminate()).expect("signals can be received");
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("signals can be received");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
