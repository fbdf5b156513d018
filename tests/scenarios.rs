//! Runs the scenarios under `tests/scenarios`, each in a world of its own.

use std::{path::Path, sync::Arc};

use tokio::sync::Mutex;

use crate::util::script::Script;

async fn run(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let script = Arc::new(Mutex::new(Script::new().await));
    datadriven::walk_async(path.to_str().expect("a UTF-8 path"), move |mut file| {
        let script = script.clone();
        async move {
            file.run_async(move |case| {
                let script = script.clone();
                async move { script.lock().await.run(&case).await }
            })
            .await;
            file
        }
    })
    .await;
}

/// Makes one test of each scenario file.
macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                run(stringify!($name)).await;
            }
        )*
    };
}

scenarios! {
    path
}
