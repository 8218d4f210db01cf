import ModernError from 'modern-errors';

/** Base class of the errors of the platform client. */
export const PlatformError = ModernError.subclass('PlatformError');

/** The call had no effect: the platform refused it or was unreachable. */
export const UnavailableError = PlatformError.subclass('UnavailableError');

/** A write may have taken effect: no complete response was received. */
export const AnswerLostError = PlatformError.subclass('AnswerLostError');
