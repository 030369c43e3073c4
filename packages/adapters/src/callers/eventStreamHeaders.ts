/** Headers of a stream of server-sent events. */
export const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache',
} as const;
