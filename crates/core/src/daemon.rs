//! Startup of the daemons.

use entry::Listeners;
use settings::{Role, Settings};
use telemetry::Sink;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

use crate::{exit::Exit, flags::DaemonArgs};

/// Loads the settings and initializes the logger; on failure prints the errors to
/// standard error.
fn load_settings(role: Role, args: &DaemonArgs) -> Result<Settings, Exit> {
    let settings = Settings::load(role, &args.config).map_err(|errors| {
        eprintln!("{errors}");
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

/// Prints the bound addresses to standard output, where tests and supervisors read
/// that the process accepts connections.
fn print_addresses(role: &str, addresses: &str) {
    println!("{role} {addresses}");
}

/// Prints why an address could not be bound.
fn report_bind_error(err: &std::io::Error) -> Exit {
    eprintln!(
        "currantbank: cannot listen ({err}); free the address or configure another"
    );
    Exit::Failed
}

/// Runs a daemon on a single-threaded runtime, as its state is shared without
/// locks.
fn run_single_threaded<F>(run: F) -> Exit
where
    F: Future<Output = Exit>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building a tokio runtime failed");
    LocalSet::new().block_on(&runtime, run)
}

/// Runs `currantbank entry`.
pub fn entry(args: &DaemonArgs) -> Exit {
    let settings = match load_settings(Role::Entry, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let runtime =
        tokio::runtime::Runtime::new().expect("building a tokio runtime failed");
    runtime.block_on(async {
        let listeners = match Listeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(err) => return report_bind_error(&err),
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
        print_addresses("entry", &addresses);
        entry::run(settings, listeners).await;
        Exit::Done
    })
}

/// Runs `currantbank agent`.
pub fn agent(args: &DaemonArgs) -> Exit {
    let settings = match load_settings(Role::Agent, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let run = async {
        let listener = match TcpListener::bind(settings.agent.listen).await {
            Ok(listener) => listener,
            Err(err) => return report_bind_error(&err),
        };
        if let Ok(address) = listener.local_addr() {
            print_addresses("agent", &format!("peers={address}"));
        }
        agent::run(settings, listener, stop_signal()).await;
        Exit::Done
    };
    run_single_threaded(run)
}

/// Runs `currantbank gateway`.
pub fn gateway(args: &DaemonArgs) -> Exit {
    let settings = match load_settings(Role::Gateway, args) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let file = args.config.clone();
    let run = async {
        let listeners = match gateway::Listeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(err) => return report_bind_error(&err),
        };
        print_addresses("gateway", &listeners.addresses());
        let reload = reload_signal();
        gateway::run(settings, file, listeners, stop_signal(), reload).await;
        Exit::Done
    };
    run_single_threaded(run)
}

/// Returns the stream of hangup signals, which request a reload of the settings
/// file.
fn reload_signal() -> tokio::signal::unix::Signal {
    signal(SignalKind::hangup()).expect("installing a signal handler failed")
}

/// Completes when the process receives SIGTERM or SIGINT.
async fn stop_signal() {
    let mut terminate =
        signal(SignalKind::terminate()).expect("installing a signal handler failed");
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("installing a signal handler failed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
