//! Starts an entry, or carries out an operator's command.

fn main() {
    std::process::exit(ibisspool::cli::run(std::env::args_os()));
}
