//! The program `ibisspool-agent`.

fn main() {
    std::process::exit(ibisspool_agent::cli::run(std::env::args_os()));
}
