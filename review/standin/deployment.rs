//! A small deployment: the store, runners and the gateways of the deploy file.

use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::{Gateway, Machine, Ports};
use crate::http::Request;
use crate::record::Record;
use crate::runner::{Identity, Runner, Work};
use crate::store::Store;
use crate::{sys, Failure, Setup};

/// Bounds and limits of a sheet that the template asks for.
pub type Bounds = [(&'static str, &'static str); 9];

const fn bounds(
    slack: &'static str,
    expose: &'static str,
    session: &'static str,
    memory_mb: &'static str,
    max_fds: &'static str,
) -> Bounds {
    [
        ("bounds.retry_ratio", "0.9"),
        ("bounds.retry_slack", slack),
        ("bounds.retry_window_s", "10"),
        ("bounds.expose_share", expose),
        ("bounds.expose_slack", "30"),
        ("bounds.session_s", session),
        ("bounds.grace_s", "8"),
        ("limits.memory_mb", memory_mb),
        ("limits.max_fds", max_fds),
    ]
}

pub const VAM_ROUTAGE: Bounds = bounds("56", "0.15", "5", "260", "4100");
pub const PROCURE_SICILIA: Bounds = bounds("58", "0.15", "5", "110", "4100");
pub const PCANT_RUTA_GROWN: Bounds = bounds("84", "0.0975", "8.5", "512", "8192");

/// Names, zones and addresses of the machines.
const MACHINES: [(&str, &str, &str); 2] = [
    ("front-1", "zone-a", "127.0.0.1"),
    ("front-2", "zone-b", "127.0.0.2"),
];

/// Time after which the platform starts a process that ended once more.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for the gateways to hear of each other after they are ready.
const SETTLE: Duration = Duration::from_millis(1500);

pub struct Deployment {
    pub record: Record,
    pub gateways: Vec<Gateway>,
    pub runners: Vec<Runner>,
    machines: Vec<Machine>,
    scratch: PathBuf,
}

/// One route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub service: &'static str,
    /// Fields of the route beyond its name, host, prefix and service, as JSON.
    pub fields: &'static str,
}

impl Deployment {
    /// Starts two gateways and `copies` runners of each service, which all do `work`.
    pub fn start<F>(
        setup: &Setup,
        site: &Bounds,
        routes: &[Route],
        copies: usize,
        work: F,
    ) -> Result<Deployment, Failure>
    where
        F: Fn(&Identity, &Request, &mut TcpStream) -> io::Result<bool>
            + Send
            + Sync
            + 'static,
    {
        let record = Record::create(&setup.case.join("record.txt"))?;
        record.line(if setup.trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        let store = Store::start()?;
        store.put("keyed.op", "config", &configuration(routes));
        let work: Arc<Work> = Arc::new(work);
        let mut runners = Vec::new();
        for (index, service) in services(routes).into_iter().enumerate() {
            for copy in 0..copies {
                let identity = Identity {
                    id: format!("i-{}{}", index + 1, copy + 1),
                    service: service.to_owned(),
                    zone: MACHINES[copy % MACHINES.len()].1.to_owned(),
                    version: "v1".to_owned(),
                };
                runners.push(Runner::start(&store, identity, &record, work.clone())?);
            }
        }
        let ips = MACHINES.map(|(_, _, ip)| ip);
        let ports = Ports::find(&ips)?;
        let machines = MACHINES.map(|(node, zone, ip)| Machine {
            node,
            zone,
            ip,
            ports,
            seeds: ips.to_vec(),
            store: store.address,
            bounds: site.to_vec(),
        });
        let start = |machine| Gateway::start(machine, &setup.scratch);
        let gateways: Vec<Gateway> =
            machines.iter().map(start).collect::<io::Result<_>>()?;
        if !gateways.iter().all(Gateway::wait_ready) {
            return Err("a gateway is not ready".into());
        }
        std::thread::sleep(SETTLE);
        Ok(Deployment {
            record,
            gateways,
            runners,
            machines: machines.to_vec(),
            scratch: setup.scratch.clone(),
        })
    }

    /// Kills a gateway and starts it again after a short delay, as the platform does.
    pub fn kill_and_restart(&mut self, index: usize) -> Result<(), Failure> {
        self.gateways[index].signal(sys::SIGKILL);
        self.gateways[index].wait();
        std::thread::sleep(RESTART_DELAY);
        self.gateways[index] = Gateway::start(&self.machines[index], &self.scratch)?;
        match self.gateways[index].wait_ready() {
            true => Ok(()),
            false => Err("a gateway is not ready again".into()),
        }
    }

    /// Returns how often a request ran, at all runners.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.runners.iter().map(|runner| runner.runs_of(id)).sum()
    }
}

fn services(routes: &[Route]) -> Vec<&'static str> {
    let mut names: Vec<&str> = routes.iter().map(|route| route.service).collect();
    names.dedup();
    names
}

fn configuration(routes: &[Route]) -> String {
    let items = routes.iter().enumerate().map(|(index, route)| {
        format!(
            r#"{{"name":"r-{index}","host":"h.example","path_prefix":"{}","service":"{}","public":false,{}}}"#,
            route.prefix, route.service, route.fields
        )
    });
    let items: Vec<String> = items.collect();
    let services = services(routes).into_iter().map(|name| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":190,"protocol":"h1","tls":false}}"#)
    });
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-a","api_keys":["key-a"]}}]}}"#,
        items.join(","),
        services.join(",")
    )
}
