import ModernError from 'modern-errors';

/** Base of failures at the platform's services, peers and backend servers, seen by adapters. */
export const PlatformError = ModernError.subclass('PlatformError');
