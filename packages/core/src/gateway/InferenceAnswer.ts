/**
 * Response of the gateway to an inference request. `events` yields the data field of each
 * server-sent event, `[DONE]` included.
 */
export type InferenceAnswer =
  | { readonly kind: 'plain'; readonly statusCode: number; readonly body: string }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<string> };
