/** Implementation of the simulated object store and backend server. */
package org.coriandercrank.standin.internal;
