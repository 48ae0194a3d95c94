//! The commands that ask running instances: `status`, `dump`, `explain` and `drain`.

use std::io::{IsTerminal, stdout};
use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use kingcupfield::client::{Answer, Client};
use kingcupfield::explain::{self, Explanation};
use kingcupfield::logbook::{Coverage, LogError, Logbook, RequestTimeline};
use kingcupfield::status::{self, Status};
use pico_args::Arguments;
use serde_json::Value;

use crate::args;
use crate::error::CliError;
use crate::output::{self, Form};

/// A look every two seconds shows a change in force within the three that are promised.
const WATCH_EVERY: Duration = Duration::from_secs(2);

/// Moves the cursor home and clears the screen.
const CLEAR: &str = "\u{1b}[H\u{1b}[2J";

const ADMIN_ADDRESS: &str = "an admin address IP:port";

/// `kingcup status ADDR.. [--watch] [--ready]`
pub fn status(mut args: Arguments, form: Form) -> Result<(), CliError> {
    let watch = args.contains("--watch");
    let ready = args.contains("--ready");
    let addresses = args::addresses(args, ADMIN_ADDRESS)?;
    crate::runtime()?.block_on(async {
        let client = Client::new();
        loop {
            let status = status::fetch(&client, &addresses).await;
            if watch && form == Form::People && stdout().is_terminal() {
                output::text(CLEAR)?;
            }
            output::print(form, &status, Status::text)?;
            if !watch {
                return verdict(&status, ready);
            }
            tokio::time::sleep(WATCH_EVERY).await;
        }
    })
}

// A status that misses an instance is no success, so that scripts notice.
fn verdict(status: &Status, ready: bool) -> Result<(), CliError> {
    if let Some(unreachable) = status.unreachable.first() {
        return Err(CliError::NoStatus {
            missing: status.unreachable.len(),
            first: unreachable.address.clone(),
        });
    }
    match status.instances.iter().find(|i| !i.is_ready()) {
        Some(instance) if ready => Err(CliError::Instance {
            address: instance.address.clone(),
            reason: format!("not ready: {}", instance.state),
        }),
        _ => Ok(()),
    }
}

/// `kingcup dump ADDR`
pub fn dump(args: Arguments) -> Result<(), CliError> {
    let address = args::address(args, ADMIN_ADDRESS)?;
    let answer = ask(Method::GET, &address, "/dump")?;
    let value: Value =
        serde_json::from_slice(&answer.body).map_err(|e| CliError::Form(e.to_string()))?;
    output::print(Form::Programs, &value, |_| String::new())
}

/// `kingcup drain ADDR`
pub fn drain(args: Arguments, form: Form) -> Result<(), CliError> {
    let address = args::address(args, ADMIN_ADDRESS)?;
    let answer = ask(Method::POST, &address, "/drain")?;
    let value: Value =
        serde_json::from_slice(&answer.body).map_err(|e| CliError::Form(e.to_string()))?;
    output::print(form, &value, |_| {
        format!("{address} leaves: it takes no new callers and ends when its last answer is sent\n")
    })
}

fn ask(method: Method, address: &str, path: &str) -> Result<Answer, CliError> {
    let client = Client::new();
    let answer = crate::runtime()?.block_on(client.ask(method, address, path))?;
    if answer.status.is_success() {
        return Ok(answer);
    }
    Err(CliError::Instance {
        address: address.to_owned(),
        reason: format!("{path} answered {}", answer.status),
    })
}

/// `kingcup explain REQUEST-ID ADDR..`, or from saved logs
pub fn explain(mut args: Arguments, form: Form) -> Result<(), CliError> {
    if args.contains("--logs") {
        return explain_logs(args, form);
    }
    let request = args::word(
        &mut args,
        "the request id (Kingcup-Request-Id of the answer)",
    )?;
    let addresses = args::addresses(args, ADMIN_ADDRESS)?;
    let found = crate::runtime()?.block_on(find(&request, &addresses))?;
    output::print(form, &found, Explanation::text)
}

/// `kingcup explain REQUEST-ID --logs FILE..` and `kingcup explain --logs --ids FILE FILE..`
fn explain_logs(mut args: Arguments, form: Form) -> Result<(), CliError> {
    let ids: Option<PathBuf> = args.opt_value_from_str("--ids")?;
    let request = match ids {
        Some(_) => None,
        None => Some(args::word(&mut args, "the request id")?),
    };
    let mut logs = vec![args::path(&mut args, "a log file")?];
    while let Some(log) = args.opt_free_from_str::<PathBuf>()? {
        logs.push(log);
    }
    args::finish(args)?;
    let logbook = Logbook::read(&logs)?;
    let Some(request) = request else {
        let path = ids.unwrap_or_default();
        let text = std::fs::read_to_string(&path).map_err(|reason| LogError { path, reason })?;
        return output::print(
            form,
            &logbook.coverage(text.split_whitespace()),
            Coverage::text,
        );
    };
    let timeline = logbook
        .timeline(&request)
        .ok_or(CliError::NotLogged(request))?;
    output::print(form, &timeline, RequestTimeline::text)
}

async fn find(request: &str, addresses: &[String]) -> Result<Explanation, CliError> {
    let client = Client::new();
    let mut failed = None;
    for address in addresses {
        match explain::fetch(&client, address, request).await {
            Ok(Some(explanation)) => return Ok(explanation),
            Ok(None) => {}
            Err(e) => failed = Some(e),
        }
    }
    // Without an answer from every address "forgotten" would be a guess.
    match failed {
        Some(e) => Err(e.into()),
        None => Err(CliError::Forgotten(request.to_owned())),
    }
}
