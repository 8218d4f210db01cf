/**
 * Bytes of one answer that a server sends ahead of what its client has passed
 * on.
 */
export const WINDOW_BYTES = 64 * 1024;

/**
 * Bytes passed on after which a client tells the server, so that few frames
 * carry credit and the server rarely waits for it.
 */
export const CREDIT_BYTES = WINDOW_BYTES / 2;
