import type { Dispatcher } from 'undici';

/**
 * Calls `onBeforeSend` when a connection is established and the request is about to be written to
 * it. A failure before that call means that no byte was sent.
 */
export function notifyBeforeSend(dispatcher: Dispatcher, onBeforeSend: () => void): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) => {
    const onRequestStart: NonNullable<typeof handler.onRequestStart> = (controller, context) => {
      onBeforeSend();
      handler.onRequestStart?.(controller, context);
    };
    const wrapped: Dispatcher.DispatchHandler = {
      onRequestStart,
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    };
    return dispatch(options, wrapped);
  });
}
