/** Serialized load report of a busy engine. */
export const sampleLoadReport = JSON.stringify({
  incarnation: '3f2b9c61-52d7-4f0e-9a44-000000000001',
  state: 'live',
  runningRequests: 37,
  waitingRequests: 12,
  waitingTokens: 48_211,
  maxConcurrentRequests: 64,
  kvCacheUsageRatio: 0.7312,
});
