import {PlatformError} from './errors.js';

/**
 * A watch requested a revision that the platform no longer stores. The objects must
 * be listed again.
 */
export const RevisionGoneError = PlatformError.subclass('RevisionGoneError');
