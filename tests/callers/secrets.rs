//! Keys in logs and metrics.

use crate::bed::{Bed, KEY, status};

/// Guards against keys in log lines: everything that the port logs while it refuses and fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_never_logged_or_counted() {
    use std::sync::Mutex;
    static LINES: Mutex<String> = Mutex::new(String::new());
    struct Lines;
    impl log::Log for Lines {
        fn enabled(&self, _: &log::Metadata<'_>) -> bool {
            true
        }
        fn log(&self, record: &log::Record<'_>) {
            struct Pairs<'a>(&'a mut String);
            impl<'kvs> log::kv::VisitSource<'kvs> for Pairs<'_> {
                fn visit_pair(
                    &mut self,
                    key: log::kv::Key<'kvs>,
                    value: log::kv::Value<'kvs>,
                ) -> Result<(), log::kv::Error> {
                    *self.0 += &format!(" {key}={value}");
                    Ok(())
                }
            }
            let mut lines = LINES.lock().unwrap();
            *lines += &format!("{} {}", record.target(), record.args());
            let _ = record.key_values().visit(&mut Pairs(&mut lines));
            lines.push('\n');
        }
        fn flush(&self) {}
    }
    // Other tests of this program log through it as well, which makes the check stricter.
    let _ = log::set_logger(&Lines);
    log::set_max_level(log::LevelFilter::Trace);
    let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _ = metrics::set_global_recorder(recorder);
    let bed = Bed::start(|_| (Vec::new(), false)).await;
    for key in [KEY, "withdrawn-secret-key"] {
        let bytes = format!(
            "POST /v1/services/one/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n\r\n"
        );
        assert_ne!(status(&bed.send(bytes.as_bytes()).await), 200);
    }
    let lines = LINES.lock().unwrap().clone();
    let metrics = metrics.render();
    assert!(
        lines.contains("target-broke-off"),
        "nothing was logged: {lines}"
    );
    assert!(
        metrics.contains("calls_refused_total"),
        "nothing was counted: {metrics}"
    );
    for text in [lines, metrics] {
        assert!(!text.contains("secret"), "{text}");
    }
}
