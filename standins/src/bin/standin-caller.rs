//! A caller: sends one request to a gateway and prints the answer as it arrives.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpResponse;
use mangocross_http::HttpTimeouts;

/// Timeout of the complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends one request and prints the answer as it comes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address of the server
    #[bpaf(argument("ADDRESS"))]
    to: SocketAddr,
    /// Method: get, post or put
    #[bpaf(argument("METHOD"), fallback("get".to_owned()))]
    method: String,
    /// Header as NAME=VALUE; may be repeated
    #[bpaf(argument("NAME=VALUE"))]
    header: Vec<String>,
    /// Body
    #[bpaf(argument("TEXT"), optional)]
    body: Option<String>,
    /// Time to wait between reads, in milliseconds
    #[bpaf(argument("MS"), fallback(30_000))]
    idle_ms: u64,
    /// Print the status and the system's headers too
    verbose: bool,
    /// Of a stream print only the text, as it comes, and how it ended
    text: bool,
    /// Path
    #[bpaf(positional("PATH"))]
    path: String,
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(status) if status < 400 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(2),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<u16, String> {
    let method = match arguments.method.as_str() {
        "post" => HttpMethod::Post,
        "put" => HttpMethod::Put,
        _ => HttpMethod::Get,
    };
    let idle = Duration::from_millis(arguments.idle_ms);
    let timeouts = HttpTimeouts::default().idle(idle).total(ANSWER_TIMEOUT);
    let mut call = HttpCall::new(method, arguments.to, &arguments.path).timeouts(timeouts);
    for header in &arguments.header {
        let (name, value) = header.split_once('=').ok_or("write headers as NAME=VALUE")?;
        call = call.header(name, value);
    }
    if let Some(body) = &arguments.body {
        call = call.body(body.clone().into_bytes());
    }
    let mut answer = HttpClient::open().call(call).map_err(|it| it.to_string())?;
    if arguments.verbose {
        println!("status {}", answer.status());
        for (name, value) in answer.headers().iter().filter(|(name, _)| name.starts_with("x-")) {
            println!("{name}: {value}");
        }
    }
    let status = answer.status();
    if arguments.text && status == 200 {
        return print_text(answer).map(|()| status);
    }
    let mut buf = [0; 4096];
    loop {
        match answer.read(&mut buf) {
            Ok(0) => break,
            Ok(length) => {
                let _ = std::io::stdout().write_all(&buf[..length]);
                let _ = std::io::stdout().flush();
            }
            Err(error) => return Err(format!("the answer broke off: {error}")),
        }
    }
    println!();
    Ok(status)
}

/// Prints the text of a stream as it arrives, and how the stream ended.
fn print_text(answer: HttpResponse) -> Result<(), String> {
    let mut end = "without its end marker";
    for line in BufReader::new(answer).lines() {
        let line = line.map_err(|it| format!("the answer broke off: {it}"))?;
        if line.starts_with("event: error") {
            end = "with an error";
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            end = "whole";
            continue;
        }
        let chunk: serde_json::Value = serde_json::from_str(data).map_err(|it| it.to_string())?;
        if chunk.get("code").is_some() {
            print!("{chunk}");
        }
        print!("{}", chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        let _ = std::io::stdout().flush();
    }
    println!("(ended {end})");
    Ok(())
}
