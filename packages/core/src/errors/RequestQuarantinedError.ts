import { RequestError } from './RequestError.js';

/** The request has crashed backend servers and is not run again until its quarantine ends. */
export const RequestQuarantinedError = RequestError.subclass('RequestQuarantinedError', {
  props: { code: 'request-quarantined', statusCode: 422, outcome: 'not-run' as const },
});
