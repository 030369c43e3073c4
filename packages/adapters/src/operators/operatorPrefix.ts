/** Path of the operators' procedures on the peer listener. */
export const operatorPrefix = '/operator';
