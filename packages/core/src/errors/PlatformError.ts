import ModernError from 'modern-errors';

/**
 * Base class of failures of the platform's services, peers and backend servers, as seen by
 * adapters.
 */
export const PlatformError = ModernError.subclass('PlatformError');
