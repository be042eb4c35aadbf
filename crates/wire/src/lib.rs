//! Messages between the processes of ibisspool and their checked decoding.

pub mod decode;
pub mod encode;
#[expect(
    missing_docs,
    clippy::pedantic,
    clippy::empty_structs_with_brackets,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod generated;
