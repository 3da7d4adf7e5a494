use hyper::StatusCode;

/// Why a request body failed, for the answer to its caller.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cause {
    TooLarge,
    Slow,
    Broken,
}

impl Cause {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }

    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "request body too large",
            Self::Slow => "request body too slow",
            Self::Broken => "request body broken off",
        }
    }
}
