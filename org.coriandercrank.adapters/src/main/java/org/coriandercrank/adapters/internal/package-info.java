/** Parts of the HTTP adapters. */
package org.coriandercrank.adapters.internal;
