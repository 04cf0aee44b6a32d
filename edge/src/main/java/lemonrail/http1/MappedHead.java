package lemonrail.http1;

/** What {@link RequestHeadMapper} makes of a request's head: a {@link RequestHead} or a request error. */
sealed interface MappedHead permits RequestHead, ClientMessage.RequestError {}
