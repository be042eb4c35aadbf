//! The program `ibisspool`: an entry and the operator commands.

fn main() {
    std::process::exit(ibisspool::cli::run(std::env::args_os()));
}
