/** Visible ASCII characters; the platform's keys have at most 200 bytes. */
const SENDABLE_ID = /^[\x21-\x7e]{1,200}$/;

/** Whether an id that another program wrote can be sent as the value of a header. */
export function isSendableId(id: unknown): id is string {
  return typeof id === 'string' && SENDABLE_ID.test(id);
}
