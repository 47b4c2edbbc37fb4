/** Implementation of the stand-ins. */
package org.coriandercrank.standin.internal;
