import test from 'ava';
import { servicePathOf } from '../../src/callers/servicePathOf.js';

// Guards against a path that is cut at the wrong position: the call would reach another port or
// host.
test('the path starts with a slash however the service name is encoded', (t) => {
  t.is(servicePathOf('/v1/services/orders/orders?x=1'), '/orders?x=1');
  t.is(servicePathOf('/v1/services/%6frders/orders'), '/orders');
  t.is(servicePathOf('/v1/services/orders//a/../b'), '//a/../b');
  t.is(servicePathOf('/v1/services/orders?/a'), '/');
});
