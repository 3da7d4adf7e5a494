//! Races between admission, dispatch and the events that revoke a grant, without sockets.

mod fixture;
mod grants;
mod interleavings;
mod load;
