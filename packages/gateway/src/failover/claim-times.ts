/** The holder of a claim acts on it for at most this long, so that it stops well before another VM may take the claim over. */
export const CLAIM_VALID_MS = 2_800
/** Another VM may take over a claim that it has seen unchanged for this long. */
export const CLAIM_TAKEOVER_MS = 4_000
/** Time from the write of a call until the platform has read it, or never does: it may be slow or down, and keep what it has received. */
const CALL_TRANSIT_MS = 10_000
/** Time from the record of a call until it can't arrive any more. It is written while the claim is valid. */
export const CALL_ARRIVAL_MS = CLAIM_VALID_MS + CALL_TRANSIT_MS
