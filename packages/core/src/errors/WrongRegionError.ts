import { RequestError } from './RequestError.js';

/** The request is bound to another region; `details` lists the entry hosts of that region. */
export const WrongRegionError = RequestError.subclass('WrongRegionError', {
  props: { code: 'wrong-region', statusCode: 421, outcome: 'not-run' as const },
});
