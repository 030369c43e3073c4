import { AttemptBrokenError } from '@camphorbarrow/core';
import type { Dispatcher } from 'undici';

/** Interim responses (status 1xx) to one request after which its connection is closed. */
const MAX_INTERIM_RESPONSES = 16;
const MIN_FINAL_STATUS = 200;

/** Aborts a request with an `AttemptBrokenError` when its server sends too many interim responses. */
export function limitInterimResponses(dispatcher: Dispatcher): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) => {
    let interimResponses = 0;
    return dispatch(options, {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart(controller, statusCode, ...rest) {
        if (statusCode < MIN_FINAL_STATUS) {
          interimResponses += 1;
          if (interimResponses > MAX_INTERIM_RESPONSES) {
            controller.abort(new AttemptBrokenError('Too many interim responses arrived.'));
            return;
          }
        }
        handler.onResponseStart?.(controller, statusCode, ...rest);
      },
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });
  });
}
