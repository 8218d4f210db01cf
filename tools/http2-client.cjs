// Takes the place of undici's client for HTTP/2, which the daemon never speaks
// and which loads the module of Node.js for it.
module.exports = () => {
  throw new Error('HTTP/2 is left out of this bundle');
};
