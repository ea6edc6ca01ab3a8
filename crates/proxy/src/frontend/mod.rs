//! Fronts: each translates between its wire and the request_table's requests and answers.

pub mod fastcgi;
pub mod interconnect;
