//! The help text; it fits a screen of 24 lines.

/// Printed by `--help` and without a command.
pub const HELP: &str = "\
kingcup: the operators' client of kingcupfield

  kingcup demo [harrowgate|lotus] [--seed N]
                                    a whole fleet in one process under load
  kingcup table check FILE [--instances FILE]
                                    list every fault of a table (.json or .csv)
  kingcup table show FILE           who comes first and who gets which share
  kingcup table diff OLD NEW        what changes for whom
  kingcup table to-csv FILE.json    print the table for a spreadsheet
  kingcup table from-csv FILE.csv   print the table for the platform
  kingcup status ADDR.. [--watch]   the fleet at a glance, from admin addresses;
                                    --ready: exit code 1 unless all are ready
  kingcup explain REQUEST-ID ADDR.. a request's life and why it was refused, or
                                    from logs: --logs FILE.. [--ids FILE]
  kingcup dump ADDR                 the state of all services of an instance
  kingcup drain ADDR                let an instance leave and cut no request
  kingcup load --mix FILE [--rate R --seconds S] [--seed N] [--svg F] ADDR..
                                    send load to callers' addresses and report

  --json         print JSON for programs
  -h, --help     print this; -V, --version the version

Exit codes: 0 done; 1 failed; 2 wrong command line or input, nothing was done.
Errors go to stderr with the next step to take.
";
