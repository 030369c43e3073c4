// Loaded into the hosts under test: lets their connections come from their own address, as on a network,
// so that a link can tell the hosts of one machine apart.
const { Socket } = require('node:net');
const { env } = require('node:process');

const { connect } = Socket.prototype;

Socket.prototype.connect = function connectFromOwnAddress(...args) {
  const [first] = args;
  const options = Array.isArray(first) ? first[0] : first;
  if (typeof options === 'object' && options.port !== undefined) {
    options.localAddress ??= env.SOAK_SOURCE_ADDRESS;
  }
  return connect.apply(this, args);
};
