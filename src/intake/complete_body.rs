use super::Charge;

/// Body of a request that arrived completely, with the charge for its buffer.
#[derive(Debug)]
pub struct CompleteBody {
    pub(super) bytes: Vec<u8>,
    pub(super) charge: Charge,
}

impl CompleteBody {
    /// Returns the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the body and its charge, which ends when it is dropped.
    pub fn into_parts(self) -> (Vec<u8>, Charge) {
        (self.bytes, self.charge)
    }
}
