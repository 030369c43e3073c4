/** Answer of the gateway; `events` holds the data fields of server-sent events, `[DONE]` included. */
export type InferenceAnswer =
  | { readonly kind: 'plain'; readonly statusCode: number; readonly body: string }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<string> };
