//! The gRPC messages that entries and agents exchange, with their conversion from and to the types
//! of `ibisspool_core`. [`decode`] validates what a peer sent; [`encode`] cannot fail.

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
